// Package docscheck tests the pages of docs/: the tests, benchmarks, files and pages
// that they refer to exist, and every promise has a test.
package docscheck
