package outcome

import "net/http"

// PromisesNotRun reports whether an HTTP status tells a caller that its request did not run
// and never will, so that even one that may run only once may be sent again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
