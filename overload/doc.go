// Package overload contains the process tests with clients that stay outside the
// published limits, and no other code. Each test starts bulrushd as a process with low
// limits, sets a fixed set of misbehaving clients on it while ordinary callers go on, and
// then checks that the process is alive, that its peak memory and its descriptors are
// within their bounds, and that an ordinary request is answered. Neither times nor
// shares of served requests are checked, so the result does not depend on the speed of
// the machine.
//
// The tests need hundreds of megabytes, and one of them runs at a time. They are skipped
// unless BULRUSHSHED_OVERLOAD=1 is set, as "make overload" does.
package overload
