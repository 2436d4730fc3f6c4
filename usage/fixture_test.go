package usage_test

import (
	"time"

	"bulrushshed/usage"
)

// start is when the tests begin.
var start = time.Unix(1000, 0)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// engineID returns the ID of engine n.
func engineID(n int) usage.EngineID { return usage.EngineID(n + 1) }

// complete returns a complete report of one engine.
func complete(host usage.HostID, incarnation int64, seq uint64, cells float64) usage.Report {
	return usage.Report{
		Host: host, Incarnation: incarnation, Seq: seq, Complete: true,
		Uses: []usage.Use{{Engine: engineID(0), Cells: cells, Streams: 1}},
	}
}
