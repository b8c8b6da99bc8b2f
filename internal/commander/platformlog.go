package commander

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/azuretrestle/azuretrestle/platform"
)

// platformLogger writes structured lines to standard output.
func (e *environment) platformLogger(s *platform.Settings) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "Time"
	config.LevelKey = "Level"
	config.MessageKey = "Message"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(e.stdout), zapcore.InfoLevel)
	return zap.New(core).With(zap.String("Entry", s.Name))
}
