package commander

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/azuretrestle/azuretrestle/internal/parser"
)

// logger returns a logger that writes one JSON object per line to standard error.
func (e *environment) logger(s *parser.Settings) *zap.Logger {
	c := zapcore.EncoderConfig{
		TimeKey: "Time", LevelKey: "Level", MessageKey: "Message", StacktraceKey: "Stack",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(c), zapcore.Lock(zapcore.AddSync(e.stderr)), s.LogLevel)
	return zap.New(core).With(zap.String("Entry", s.Name))
}
