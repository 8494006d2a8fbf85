package table

// Paths of the HTTP interface. Every request is a POST with a JSON body.
const (
	GetPath    = "/table/get"
	ScanPath   = "/table/scan"
	CommitPath = "/table/commit"
)

// GetRequest is the body of a request to GetPath; the response is a RowsResponse.
type GetRequest struct {
	Keys []Key `json:"keys"`
}

// ScanRequest is the body of a request to ScanPath; the response is a RowsResponse.
type ScanRequest struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse is the response to a read.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse is the response to a request to CommitPath, whose body is a Txn.
type CommitResponse struct {
	Versions []Version `json:"versions"`
}

// ErrorResponse is the body of every response other than 200. The service sends one only for a
// request that had no effect: 400 with Problem, 409 with Conflict, and 503 when it is
// unavailable.
type ErrorResponse struct {
	Problem  string         `json:"problem,omitempty"`
	Conflict *ConflictError `json:"conflict,omitempty"`
}
