package table

// Paths of the HTTP interface. Every request is a POST with a JSON body.
const (
	GetPath    = "/table/get"
	ScanPath   = "/table/scan"
	CommitPath = "/table/commit"
)

// GetRequest is the body of a request to GetPath; a RowsResponse comes back.
type GetRequest struct {
	Keys []Key `json:"keys"`
}

// ScanRequest is the body of a request to ScanPath; a RowsResponse comes back.
type ScanRequest struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse answers a read.
type RowsResponse struct {
	Rows []Row `json:"rows"`
}

// CommitResponse answers a request to CommitPath, whose body is a Txn.
type CommitResponse struct {
	Versions []Version `json:"versions"`
}

// ErrorResponse is the body of every answer but 200. The service sends one only for
// a request that had no effect: 400 with Problem, 409 with Conflict, and 503
// when it is down.
type ErrorResponse struct {
	Problem  string         `json:"problem,omitempty"`
	Conflict *ConflictError `json:"conflict,omitempty"`
}
