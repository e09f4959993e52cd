package daemon

import "mulberrylug.example/mulberrylug/internal/core/config"

// Settings are a process's local settings, read from a file before it contacts the platform.
type Settings struct {
	// Name identifies the instance and is unique in the deployment.
	Name       string `yaml:"name" validate:"required,safename"`
	DataCentre string `yaml:"data_centre" validate:"required,safename"`
	// CallerAddress, PeerAddress and OperatorAddress have the form IP:port. The process listens
	// on them, and they are the addresses at which it is reached. Port 0 picks a free port.
	CallerAddress   string `yaml:"caller_address" validate:"required,ipport"`
	PeerAddress     string `yaml:"peer_address" validate:"required,ipport"`
	OperatorAddress string `yaml:"operator_address" validate:"required,ipport"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform" validate:"required,http_url"`
	// LogLevel is debug, info, warn, error or off. Default info.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error off"`
	// Without lists mechanisms to disable, for comparison runs. Default none.
	Without []string `yaml:"without" validate:"dive,mechanism"`
}

// ParseSettings parses a settings file. The error is a config.Problems, which lists every
// problem with its line.
func ParseSettings(name string, data []byte) (Settings, error) {
	s := Settings{LogLevel: "info"}
	err := config.ParseObject(config.File{Name: name, Data: data}, &s)
	return s, err
}
