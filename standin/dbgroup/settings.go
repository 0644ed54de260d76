package dbgroup

import (
	"maps"
	"strings"
)

// Names of settings that have an effect.
const (
	settingReadOnly   = "default_transaction_read_only"
	settingTxReadOnly = "transaction_read_only"
)

// reportedSettings are those whose values are reported to the client.
var reportedSettings = []string{
	"server_version",
	"server_encoding",
	"client_encoding",
	"application_name",
	"datestyle",
	"timezone",
	"integer_datetimes",
	"standard_conforming_strings",
	settingReadOnly,
}

// defaultSettings are the settings of a server. Other names are known only if
// they contain a dot.
var defaultSettings = map[string]string{
	"server_version":                      "17.0",
	"server_encoding":                     "UTF8",
	"client_encoding":                     "UTF8",
	"application_name":                    "",
	"datestyle":                           "ISO, MDY",
	"timezone":                            "UTC",
	"integer_datetimes":                   "on",
	"standard_conforming_strings":         "on",
	settingReadOnly:                       "off",
	"default_transaction_isolation":       "read committed",
	"extra_float_digits":                  "1",
	"statement_timeout":                   "0",
	"lock_timeout":                        "0",
	"idle_in_transaction_session_timeout": "0",
	"search_path":                         `"$user", public`,
	"work_mem":                            "4MB",
}

// startupOnly are startup parameters that are not settings.
var startupOnly = map[string]bool{"user": true, "database": true, "options": true, "replication": true}

// sessionSettings returns the settings of a session with the given startup
// parameters.
func sessionSettings(parameters map[string]string) (map[string]string, *sqlError) {
	settings := maps.Clone(defaultSettings)
	for name, value := range startupSettings(parameters) {
		if err := assign(settings, strings.ToLower(name), value); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// startupSettings joins the parameters with the settings given as "-c
// name=value" in the parameter "options".
func startupSettings(parameters map[string]string) map[string]string {
	settings := make(map[string]string)
	for name, value := range parameters {
		if !startupOnly[name] && !strings.HasPrefix(name, "_pq_.") {
			settings[name] = value
		}
	}
	for _, word := range strings.Fields(parameters["options"]) {
		word = strings.TrimPrefix(strings.TrimPrefix(word, "-c"), "--")
		if name, value, ok := strings.Cut(word, "="); ok {
			settings[name] = value
		}
	}
	return settings
}

// assign sets a setting after checking its name and value.
func assign(settings map[string]string, name, value string) *sqlError {
	if _, known := defaultSettings[name]; !known && !strings.Contains(name, ".") {
		return errorf(codeUnknownSetting, "unrecognized configuration parameter %q", name)
	}
	if name == settingReadOnly {
		on, ok := parseBool(value)
		if !ok {
			return errorf(codeInvalidSetting, "parameter %q requires a Boolean value", name)
		}
		value = "off"
		if on {
			value = "on"
		}
	}
	settings[name] = value
	return nil
}

func parseBool(value string) (on, ok bool) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, true
	case "off", "false", "no", "0":
		return false, true
	}
	return false, false
}

// setting changes a setting of the session and reports it if needed.
func (c *session) setting(name, value string) *sqlError {
	before := c.settings[name]
	if err := assign(c.settings, name, value); err != nil {
		return err
	}
	c.reportSetting(name, before)
	return nil
}

// restoreSettings gives all settings the given values.
func (c *session) restoreSettings(settings map[string]string) {
	before := c.settings
	c.settings = maps.Clone(settings)
	for _, name := range reportedSettings {
		c.reportSetting(name, before[name])
	}
}

func (c *session) reportSetting(name, before string) {
	for _, reported := range reportedSettings {
		if name == reported && c.settings[name] != before {
			c.answers.setting(name, c.settings[name])
		}
	}
}
