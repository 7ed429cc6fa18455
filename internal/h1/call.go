package h1

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// maxCallAnswerSize is the largest size in bytes of the body of the response to a call.
const maxCallAnswerSize = 1 << 20

// Answer is the response to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Call sends a request that this program itself generates and reads the response. A body
// over 1 MiB, or over what is left of pool.Memory, is an error. The connection is closed
// when ctx ends. After an error the upstream may have processed the request.
func (pool *Pool) Call(ctx context.Context, key Key, request *http.Request, body []byte) (Answer, error) {
	conn, err := pool.Get(ctx, key, 0)
	if err != nil {
		return Answer{}, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	reservation, release := pool.Memory.Reserve()
	defer release()
	answer, err := conn.call(request, body, reservation)
	if err != nil {
		pool.drop(key, conn)
		return Answer{}, err
	}
	pool.Put(key, conn)
	return answer, nil
}

// call writes a request and reads the response. After an error the connection must be
// closed.
func (conn *Conn) call(request *http.Request, body []byte, reservation *Reservation) (Answer, error) {
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
	response, err := conn.ReadResponse(request.Method) //nolint:bodyclose // the body is read to its end below
	if err != nil {
		return Answer{}, err
	}
	content, err := ReadAll(response.Body, maxCallAnswerSize, reservation)
	if err != nil {
		return Answer{}, errors.Wrap(err, "read answer")
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}
