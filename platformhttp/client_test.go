package platformhttp_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bulrushshed/hostlog"
	"bulrushshed/platformhttp"
)

// Many large records in a row, such as rule files, must not exceed the bound of a response,
// or a host that starts could never read past them.
func TestReadOfLargeRecordsReturnsFewer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const records = 20
	body, err := json.Marshal(strings.Repeat("x", 1<<20))
	is.NoErr(err)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		limit, _ := strconv.ParseInt(r.URL.Query().Get("limit"), 10, 64)
		page := hostlog.Page{First: 1, Next: min(from+limit, records+1)}
		for n := from; n < page.Next; n++ {
			page.Records = append(page.Records, hostlog.Record{Offset: n, Entry: hostlog.Entry{Body: body}})
		}
		_ = json.NewEncoder(w).Encode(page)
	}))
	t.Cleanup(s.Close)
	c := platformhttp.NewClient(s.URL, 10*time.Second)
	var got int
	for next := int64(1); next <= records; {
		page, err := c.Read(next, 500, 0)
		is.NoErr(err)
		is.True(page.Next > next)
		got += len(page.Records)
		next = page.Next
	}
	is.Equal(got, records)
}
