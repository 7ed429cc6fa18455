package h1

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// maxCallAnswer bounds the answer to a call.
const maxCallAnswer = 1 << 20

// Answer is the whole answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a small request of this program's own and reads the whole answer. After an
// error the upstream may have taken the request.
func (pool *Pool) Call(ctx context.Context, key Key, request *http.Request, body []byte) (Answer, error) {
	conn, err := pool.Get(ctx, key, 0)
	if err != nil {
		return Answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	answer, err := conn.call(request, body)
	if err != nil {
		pool.drop(key, conn)
		return Answer{}, err
	}
	pool.Put(key, conn)
	return answer, nil
}

func (conn *Conn) call(request *http.Request, body []byte) (Answer, error) {
	head := []byte(request.Method + " " + request.URL.RequestURI() + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	for name, values := range request.Header {
		for _, value := range values {
			head = append(head, name+": "+value+"\r\n"...)
		}
	}
	if request.Method != http.MethodGet {
		head = append(head, "Content-Length: "+strconv.Itoa(len(body))+"\r\n"...)
	}
	if _, err := conn.Send(append(head, "\r\n"...), body); err != nil {
		return Answer{}, err
	}
	response, err := conn.Head(request.Method) //nolint:bodyclose // the body is read to its end below
	if err != nil {
		return Answer{}, err
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxCallAnswer))
	if err != nil {
		return Answer{}, errors.Wrap(err, "read answer")
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}
