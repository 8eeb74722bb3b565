package hgstore

import (
	"net/http"
	"time"
)

// defaultTimeout bounds one platform operation.
const defaultTimeout = 2 * time.Second

type options struct {
	timeout   time.Duration
	transport http.RoundTripper
}

// Option sets up an HTTP store.
type Option func(o *options)

// WithTimeout bounds each operation.
func WithTimeout(d time.Duration) Option { return func(o *options) { o.timeout = d } }

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option { return func(o *options) { o.transport = t } }

func newOptions(opts []Option) options {
	o := options{timeout: defaultTimeout, transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for _, set := range opts {
		set(&o)
	}
	return o
}
