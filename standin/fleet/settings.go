package fleet

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// settingsFile holds the settings of a VM in the format of the daemon's settings file.
type settingsFile struct {
	VM         string `yaml:"vm"`
	DataCentre string `yaml:"data_centre"`
	Addresses  struct {
		Clients string `yaml:"clients"`
		Peers   string `yaml:"peers"`
		Admin   string `yaml:"admin"`
	} `yaml:"addresses"`
	FleetSecret struct {
		Inline string `yaml:"inline"`
	} `yaml:"fleet_secret"`
	Store   string         `yaml:"store"`
	Seeds   []seedSettings `yaml:"seeds"`
	Backend struct {
		User         string `yaml:"user"`
		PasswordFile string `yaml:"password_file"`
	} `yaml:"backend"`
}

// seedSettings is an entry of the list of seeds.
type seedSettings struct {
	VM      string `yaml:"vm"`
	Address string `yaml:"address"`
}

// WriteSettings writes a settings file for each VM of the profile into the directory,
// for daemons that run as separate processes, and returns the paths of the files.
func (f *Fleet) WriteSettings(dir string) ([]string, error) {
	const passwordFile = "backend-password"
	if err := os.WriteFile(filepath.Join(dir, passwordFile), []byte(backendPassword), 0o600); err != nil {
		return nil, eris.Wrap(err, "write the password file of the VMs")
	}
	var paths []string
	for i := range f.Profile.VMs {
		s := f.settingsOf(i)
		s.Backend.PasswordFile = passwordFile
		data, err := yaml.Marshal(s)
		if err != nil {
			return nil, eris.Wrapf(err, "write the settings of %s", s.VM)
		}
		path := filepath.Join(dir, fmt.Sprintf("%s.yaml", s.VM))
		if err := os.WriteFile(path, data, 0o600); err != nil {
			return nil, eris.Wrapf(err, "write the settings of %s", s.VM)
		}
		paths = append(paths, path)
	}
	return paths, nil
}

// settingsOf returns the settings of a VM without the path of the password file.
func (f *Fleet) settingsOf(vm int) settingsFile {
	host := vmHost(vm)
	s := settingsFile{VM: VMName(vm), DataCentre: f.Profile.DataCentreOf(vm), Store: StoreAddress()}
	s.Addresses.Clients = address(host, postgresPort)
	s.Addresses.Peers = address(host, PeerPort)
	s.Addresses.Admin = address(host, adminPort)
	s.FleetSecret.Inline = Secret
	s.Backend.User = backendUser
	for _, seed := range f.seeds() {
		if seed.Name != s.VM {
			s.Seeds = append(s.Seeds, seedSettings{VM: seed.Name, Address: seed.Address})
		}
	}
	return s
}
