package hgtransport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"hyssopgrade/internal/proof/hgreset"
)

// Guards against an answer with a field name that is none of HTTP, and against a connection that is used again behind it.
func TestAnswersAreChecked(t *testing.T) {
	const (
		whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
		chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"
		hint  = "HTTP/1.1 103 Early Hints\r\n"
	)
	tests := map[string]struct {
		data string
		err  error
	}{
		"whole":                    {whole, nil},
		"chunks":                   {chunk + "\r\n", nil},
		"trailer":                  {chunk + "X-Odd: 1\r\n\r\n", nil},
		"hint":                     {hint + "X-Odd: 1\r\n\r\n" + whole, nil},
		"no body":                  {"HTTP/1.1 204 No Content\r\n\r\n", nil},
		"blank in a name":          {strings.Replace(whole, "\r\n", "\r\nX Odd: 1\r\n", 1), ErrFieldName},
		"blank behind a name":      {strings.Replace(whole, "\r\n", "\r\nContent-Length : 2\r\n", 1), ErrFieldName},
		"no body, blank in a name": {"HTTP/1.1 204 No Content\r\nX Odd: 1\r\n\r\n", ErrFieldName},
		"trailer, blank in a name": {chunk + "X Odd: 1\r\n\r\n", ErrFieldName},
		"hint, blank in a name":    {hint + "X Odd: 1\r\n\r\n" + whole, ErrFieldName},
		"many hints":               {strings.Repeat(hint+"\r\n", 1<<10) + whole, nil},
		"hints without end":        {strings.Repeat(hint+"\r\n", 4<<10), errPreliminary},
		"hints with long reasons":  {strings.Repeat("HTTP/1.1 103 "+strings.Repeat("x", 20<<10)+"\r\n\r\n", 20), errPreliminary},
		"hints with long fields":   {strings.Repeat(hint+"X-Odd: "+strings.Repeat("x", 20<<10)+"\r\n\r\n", 20), errPreliminary},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go hgreset.Server{Answer: func(*http.Request) hgreset.Answer { return hgreset.Answer{Data: tt.data} }}.Serve(l)
			var dials atomic.Int64
			client := &http.Client{Transport: New(&http.Transport{MaxResponseHeaderBytes: 64 << 10, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				dials.Add(1)
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}})}
			defer client.CloseIdleConnections()
			const requests = 3
			for range requests {
				w, err := client.Get("http://" + l.Addr().String())
				if err == nil {
					_, err = io.ReadAll(w.Body)
					w.Body.Close()
				}
				if diff := cmp.Diff(tt.err, err, cmpopts.EquateErrors()); diff != "" {
					t.Errorf("error (-want +got):\n%s", diff)
				}
			}
			want := map[bool]int64{true: 1, false: requests}[tt.err == nil]
			if diff := cmp.Diff(want, dials.Load()); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}
