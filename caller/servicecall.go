package caller

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/service"
)

// unforwardedHeaders are hop-by-hop headers and headers of springweir itself.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization",
	wire.HeaderHop, wire.HeaderAttempt, wire.HeaderDeadline, wire.HeaderPriority,
	wire.HeaderReason, wire.HeaderRequest, wire.HeaderReplayed,
}

func (h *Handler) serviceCall(x *exchange) *failure.Request {
	name, path, _ := strings.Cut(strings.TrimPrefix(x.r.URL.EscapedPath(), wire.PathServices), "/")
	svc, ok := h.cfg.Catalogue.Service(name)
	if !ok {
		return reject(failure.NoSuchService, "the settings name no such service")
	}
	if !isAllowed(x.org.Services, svc.Name) {
		return reject(failure.NotAllowed, "the organisation may not call this service")
	}
	body, failed := readBody(x, h.applyLimits(x, svc.Limits))
	if failed != nil {
		return failed
	}
	x.work.Service = svc.Name
	x.work.Repeatable = svc.Repeatable
	x.work.Call = service.Call{
		Method: x.r.Method,
		Path:   withQuery("/"+path, x.r.URL.RawQuery),
		Header: forwardedHeaders(x.r.Header),
		Body:   body,
	}
	resp, err := h.cfg.Forwarder.Call(x.r.Context(), x.work)
	if err != nil {
		return asFailure(err)
	}
	x.writeResponse(resp)
	return nil
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// forwardedHeaders returns a copy of the headers without hop-by-hop and springweir headers.
func forwardedHeaders(from http.Header) http.Header {
	to := from.Clone()
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		to.Del(name)
	}
	return to
}

func (x *exchange) writeResponse(resp *forward.Response) {
	header := x.w.Header()
	for name, values := range forwardedHeaders(resp.Header) {
		header[name] = values
	}
	if resp.Replayed {
		header.Set(wire.HeaderReplayed, "true")
	}
	if len(resp.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(resp.Body); err != nil {
		x.recordFailure(callerDisconnected(err))
	}
}
