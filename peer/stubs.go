package peer

import (
	"net/http"

	"github.com/springweir/springweir/peer/controllerpb"
	"github.com/springweir/springweir/peer/viewpb"
)

// ViewAt returns a client of the view service of the entry at address (host:port). Its
// calls are read-only and never retried.
func ViewAt(address string, transport http.RoundTripper) viewpb.View {
	return viewpb.NewViewProtobufClient("http://"+address, newOnceClient(transport))
}

// ControllerAt returns a client of the controller at address (host:port). Its calls are
// never retried.
func ControllerAt(address string, transport http.RoundTripper) controllerpb.Controller {
	return controllerpb.NewControllerProtobufClient("http://"+address, newOnceClient(transport))
}
