// Package e2e contains end-to-end tests that run the four programs as processes on separate
// loopback addresses, and kill, pause, stop and partition them.
//
// Each request is classified by its outcome, and the outcomes are checked against the executions
// that the stand-ins recorded. The tests wait for conditions with generous timeouts and assert
// counts and order, so that no result depends on the speed of the machine. The only bound in
// seconds, no new work for a leaving endpoint, is checked against the stand-in's record.
package e2e
