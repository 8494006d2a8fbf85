package h1

import (
	"io"
	"net/http"
)

// Response is an answer whose head was read. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 when its end shows it.
	Length int64

	body    io.Reader
	ended   bool
	closing bool
	ex      *exchange
}

// Read implements io.Reader. It returns io.EOF only at the true end of the body.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// ReadAll reads the body to its end. One of more than limit bytes gives *TooLongError.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, &TooLongError{Limit: limit}
	}
	return body, err
}

// Closing tells that the server ends the connection after this answer.
func (a *Response) Closing() bool { return a.closing }

// Close ends the exchange. The connection is kept if the answer was read to its
// end and nothing else came; otherwise it is closed, which tells the server to
// drop the request.
func (a *Response) Close() {
	a.ex.once.Do(func() {
		if !a.reusable() {
			a.ex.drop()
			return
		}
		a.ex.conn.keep = keepAlive(a.Header, a.ex.pool.opts.MaxIdleTime)
		a.ex.pool.put(a.ex.conn)
	})
}

func (a *Response) reusable() bool {
	ended := a.ended || a.Length == 0
	if !ended || a.closing || a.ex.conn.reader.Buffered() > 0 {
		return false
	}
	return a.ex.stop() && a.ex.written(a.Status/100 == 2)
}
