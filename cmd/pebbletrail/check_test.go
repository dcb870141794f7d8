package main

import (
	"bytes"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/pebbletrail/pebbletrail/internal/config"
)

// sampleSettings is the path of the commented sample of the platform's settings file.
const sampleSettings = "../../deploy/settings.sample.toml"

func TestCheckAcceptsTheSampleSettings(t *testing.T) {
	t.Setenv("PEBBLETRAIL_OPERATORS", "")
	t.Setenv("PEBBLETRAIL_FEATURES", "")
	var output bytes.Buffer
	command := rootCommand()
	command.SetOut(&output)
	command.SetArgs([]string{"check", "--config", sampleSettings})
	if err := command.Execute(); err != nil {
		t.Fatal(err)
	}
	want := sampleSettings + ": good; node controller-a, 2 others, 2 teams\n"
	if output.String() != want {
		t.Errorf("check printed %q, want %q", output.String(), want)
	}
}

func TestSampleSettingsNameEveryField(t *testing.T) {
	raw, err := os.ReadFile(sampleSettings)
	if err != nil {
		t.Fatal(err)
	}
	sample := string(raw)
	for _, field := range tomlNames(reflect.TypeFor[config.Settings]()) {
		if !strings.Contains(sample, field+" = ") && !strings.Contains(sample, "["+field+"]") && !strings.Contains(sample, "."+field+"]") {
			t.Errorf("%s lacks the field %s", sampleSettings, field)
		}
	}
}

// tomlNames returns the TOML names of the fields of a settings type, including those of nested types.
func tomlNames(settings reflect.Type) (names []string) {
	for i := range settings.NumField() {
		field := settings.Field(i)
		name := field.Tag.Get("toml")
		if name == "" || name == "-" {
			continue
		}
		names = append(names, name)
		inner := field.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			names = append(names, tomlNames(inner)...)
		}
	}
	return names
}
