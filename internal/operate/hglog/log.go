package hglog

import (
	"io"
	"log/slog"

	"github.com/gravitational/trace"
)

// New returns a logger that writes to w. The format is text or json; the level is debug, info, warn or error.
func New(w io.Writer, format, level string) (l *slog.Logger, err error) {
	defer func() { err = trace.Wrap(err, "log settings") }()
	var lv slog.Level
	if err := lv.UnmarshalText([]byte(level)); err != nil {
		return nil, trace.BadParameter("level %q: want debug, info, warn or error", level)
	}
	opts := &slog.HandlerOptions{Level: lv}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	}
	return nil, trace.BadParameter("format %q: want text or json", format)
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
