// Package lease elects the controller of one pool in one availability zone. A lease is one row of
// the table service that is written conditionally. A tenure is the time for which one process
// holds the lease under one fencing token.
//
// Timing uses monotonic clocks only. A holder counts the lease duration from before it sent the
// renewal; a successor counts it from after the read in which it first observed the unchanged
// row. The row was committed between the two, so the holder's count always ends first, as long as
// the clock rates differ by less than Config.Margin over one Config.TTL.
//
// Timing alone doesn't make orders safe, because a clock may stop while a VM is paused. Each
// write under a lease therefore checks the lease's row in its own transaction (Lease.Commit), and
// package order has a predecessor confirm that it has dropped its authority.
//
// Load on the table service for each lease: one write every Config.Renew, and one read every
// Config.Poll by each of the first activeContenders contenders; the others read one in
// distantPollFactor times. With the defaults and 63 contenders in a zone that is 0.33
// writes and 2.5 reads a second, with 8 contenders 0.33 and 1.1 (TestTableLoad).
package lease
