package caller

import (
	"net/http"
	"strings"

	"github.com/springweir/springweir/caller/wire"
	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/forward"
	"github.com/springweir/springweir/service"
)

// notPassedOn are headers that belong to one connection, or to springweir.
var notPassedOn = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Authorization",
	wire.HeaderHop, wire.HeaderAttempt, wire.HeaderDeadline, wire.HeaderPriority,
	wire.HeaderReason, wire.HeaderRequest, wire.HeaderReplayed,
}

func (h *Handler) serviceCall(x *exchange) *failure.Request {
	name, path, _ := strings.Cut(strings.TrimPrefix(x.r.URL.EscapedPath(), wire.PathServices), "/")
	svc, ok := h.cfg.Catalogue.Service(name)
	if !ok {
		return refused(failure.NoSuchService, "the settings name no such service")
	}
	if !mayUse(x.org.Services, svc.Name) {
		return refused(failure.NotAllowed, "the organisation may not call this service")
	}
	body, failed := readBody(x, h.bound(x, svc.Limits))
	if failed != nil {
		return failed
	}
	x.work.Service = svc.Name
	x.work.Repeatable = svc.Repeatable
	x.work.Call = service.Call{
		Method: x.r.Method,
		Path:   withQuery("/"+path, x.r.URL.RawQuery),
		Header: passedOn(x.r.Header),
		Body:   body,
	}
	reply, err := h.cfg.Forwarder.Call(x.r.Context(), x.work)
	if err != nil {
		return asFailure(err)
	}
	x.reply(reply)
	return nil
}

func withQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}

// passedOn copies the headers that are meant for the other side.
func passedOn(from http.Header) http.Header {
	to := from.Clone()
	for _, value := range from.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range notPassedOn {
		to.Del(name)
	}
	return to
}

func (x *exchange) reply(reply *forward.Response) {
	header := x.w.Header()
	for name, values := range passedOn(reply.Header) {
		header[name] = values
	}
	if reply.Replayed {
		header.Set(wire.HeaderReplayed, "true")
	}
	x.w.WriteHeader(reply.Status)
	if _, err := x.w.Write(reply.Body); err != nil {
		x.note(gone(err))
	}
}
