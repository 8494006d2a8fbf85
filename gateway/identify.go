package gateway

import (
	"net/http"

	"github.com/springweir/springweir/failure"
	"github.com/springweir/springweir/organisation"
	"github.com/springweir/springweir/routes"
)

// authorization is the header that carries a caller's credential.
const authorization = "Authorization"

// forwardedHeader returns the header to send to the endpoint. If the configuration has
// organisations, this system checks credentials and does not forward them; otherwise the endpoint
// checks them.
func (c *Call) forwardedHeader(config *routes.Config) http.Header {
	if config.Organisations == nil && len(c.Authorization) > 0 {
		c.Header[authorization] = c.Authorization
	}
	return c.Header
}

// identify returns the organisation that a request comes from, or nil if the route or the
// configuration requires none.
func (s *state) identify(config *routes.Config, route *routes.Route, c organisation.Credential) (*organisation.Organisation, *failure.Request) {
	if config.Organisations == nil || route.Open {
		return nil, nil
	}
	if !s.acceptsKeys() {
		if s.knowsUnusable() {
			return nil, newRefusal(failure.ConfigMalformed, "the newest configuration cannot be decoded and may have taken keys away")
		}
		return nil, newRefusal(failure.ConfigUnconfirmed, "this VM cannot tell whether keys were taken away")
	}
	caller, err := config.Organisations.Identify(c)
	switch {
	case err == nil:
		return caller, nil
	case organisation.IsUnknown(err) && s.configStale():
		return nil, newRefusal(failure.ConfigUnconfirmed, "the configuration may have changed, and the key be a new one")
	case organisation.IsUnknown(err) && config.MalformedOrganisations > 0:
		return nil, newRefusal(failure.ConfigMalformed, "the key may be of an organisation that is malformed in the configuration")
	}
	return nil, &failure.Request{Code: failure.ReasonOf(err), Ran: failure.NotRun, Message: "the request carries no API key that is in force"}
}
