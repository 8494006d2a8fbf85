package h1

import (
	"io"
	"net/http"
)

// Response is a response whose head was read. Close must be called once.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known in advance.
	Length int64
	// UntilClose is set if the body has neither a length nor chunks, and ends with its connection.
	UntilClose bool
	// Explain, if not nil, returns the error to report for a failed read of the body.
	Explain func(error) error

	body io.Reader
	// unframed is UntilClose, for the response of this connection's server.
	unframed bool
	ended    bool
	// endedErr is returned by all reads after the end, if the end of the connection does not end the body.
	endedErr error
	closing  bool
	ex       *exchange
}

// Read implements io.Reader. It returns io.EOF only if the body is complete, *ServerEndedError or *BrokenConnectionError if
// the connection ended for another reason, and *LimitError if the body has too much beside its data.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		if r.unframed && !r.ended {
			r.endedErr = r.ex.checkEnd()
		}
		r.ended = true
		if r.endedErr != nil {
			return n, r.endedErr
		}
		return n, err
	}
	err = r.ex.pool.bodyError(err)
	if err != nil && r.Explain != nil {
		err = r.Explain(err)
	}
	return n, err
}

// ReadAll reads the whole body. It returns *LimitError if the body exceeds limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	if r.hasBody() && r.Length > limit {
		return nil, r.ex.pool.overLimit(Body, limit)
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, r.ex.pool.overLimit(Body, limit)
	}
	return body, err
}

// hasBody reports whether the response has a body. The response to a HEAD request has a length, but none.
func (r *Response) hasBody() bool { return r.body != http.NoBody }

// Closing reports whether the server closes the connection after this response.
func (r *Response) Closing() bool { return r.closing }

// Close ends the exchange. The connection returns to the pool if the response was
// read to its end and no further data arrived. Otherwise it is closed, which makes
// the server cancel the request.
func (r *Response) Close() {
	r.ex.once.Do(func() {
		if !r.reusable() {
			r.ex.abort()
			return
		}
		r.ex.conn.keepFor = keepAliveTimeout(r.Header, r.ex.pool.opts.MaxIdleTime)
		r.ex.pool.putIdle(r.ex.conn)
	})
}

func (r *Response) reusable() bool {
	ended := r.ended || r.Length == 0
	if !ended || r.closing || r.ex.conn.reader.Buffered() > 0 {
		return false
	}
	return r.ex.stop() && r.ex.bodyWritten(r.Status/100 == 2)
}
