package dbgroup

import (
	"maps"
	"strings"
)

// Settings that have an effect. All others are only stored.
const (
	settingDefaultReadOnly     = "default_transaction_read_only"
	settingTransactionReadOnly = "transaction_read_only"
)

// reportedSettings are the settings whose values are sent to the client in
// ParameterStatus.
var reportedSettings = []string{
	"server_version",
	"server_encoding",
	"client_encoding",
	"application_name",
	"datestyle",
	"timezone",
	"integer_datetimes",
	"standard_conforming_strings",
	settingDefaultReadOnly,
}

// defaultSettings are the settings of a server. Other names are accepted only if
// they contain a dot, as custom settings of PostgreSQL do.
var defaultSettings = map[string]string{
	"server_version":                      "17.0",
	"server_encoding":                     "UTF8",
	"client_encoding":                     "UTF8",
	"application_name":                    "",
	"datestyle":                           "ISO, MDY",
	"timezone":                            "UTC",
	"integer_datetimes":                   "on",
	"standard_conforming_strings":         "on",
	settingDefaultReadOnly:                "off",
	"default_transaction_isolation":       "read committed",
	"extra_float_digits":                  "1",
	"statement_timeout":                   "0",
	"lock_timeout":                        "0",
	"idle_in_transaction_session_timeout": "0",
	"search_path":                         `"$user", public`,
	"work_mem":                            "4MB",
}

// nonSettingParameters are the startup parameters that are not settings.
var nonSettingParameters = map[string]bool{"user": true, "database": true, "options": true, "replication": true}

// sessionSettings returns the initial settings of a session with the given startup
// parameters. It fails for an unknown name or an invalid value.
func sessionSettings(parameters map[string]string) (map[string]string, *sqlError) {
	settings := maps.Clone(defaultSettings)
	for name, value := range startupSettings(parameters) {
		if err := assign(settings, strings.ToLower(name), value); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// startupSettings returns the startup parameters that are settings, and the
// settings given as "-c name=value" or "--name=value" in the parameter "options".
func startupSettings(parameters map[string]string) map[string]string {
	settings := make(map[string]string)
	for name, value := range parameters {
		if !nonSettingParameters[name] && !strings.HasPrefix(name, "_pq_.") {
			settings[name] = value
		}
	}
	for _, option := range strings.Fields(parameters["options"]) {
		option = strings.TrimPrefix(strings.TrimPrefix(option, "-c"), "--")
		if name, value, ok := strings.Cut(option, "="); ok {
			settings[name] = value
		}
	}
	return settings
}

// assign checks the name and value of a setting and sets it.
func assign(settings map[string]string, name, value string) *sqlError {
	if _, known := defaultSettings[name]; !known && !strings.Contains(name, ".") {
		return errorf(codeUndefinedSetting, "unrecognized configuration parameter %q", name)
	}
	if name == settingDefaultReadOnly {
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

// setSetting changes a setting of the session and reports the change to the
// client if needed.
func (c *session) setSetting(name, value string) *sqlError {
	before := c.settings[name]
	if err := assign(c.settings, name, value); err != nil {
		return err
	}
	c.reportSetting(name, before)
	return nil
}

// restoreSettings sets all settings to the given values and reports the changes to
// the client.
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
			c.responses.parameterStatus(name, c.settings[name])
		}
	}
}
