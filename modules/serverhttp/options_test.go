package serverhttp

import (
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/burdockspindle/burdockspindle/settings"
)

func TestOptionsFromSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	s := &settings.Settings{
		Limits: settings.Limits{ConnectTimeout: time.Second, StallTimeout: 2 * time.Second, MaxHeaderBytes: 100},
		Servers: settings.Driver{Name: "http", Options: map[string]any{
			optionIdleAfter: 5.0, optionControlSilentAfter: 7.0, optionExpectProgress: false,
		}},
	}
	options, err := OptionsFrom(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(options).To(gomega.Equal(Options{
		ConnectTimeout: time.Second, StallTimeout: 2 * time.Second, MaxHeaderBytes: 100,
		IdleAfter: 5 * time.Millisecond, ControlStallTimeout: 7 * time.Millisecond,
	}))
	for name, value := range map[string]any{
		"other": 1.0, optionIdleAfter: "5", optionControlSilentAfter: 0.0, optionExpectProgress: 1.0,
	} {
		s.Servers.Options = map[string]any{name: value}
		_, err := OptionsFrom(s)
		var refused *OptionError
		g.Expect(errors.As(err, &refused)).To(gomega.BeTrue(), name)
		g.Expect(refused.Name).To(gomega.Equal(name))
	}
}
