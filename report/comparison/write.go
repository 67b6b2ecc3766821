package comparison

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// Run simulates all seeds and returns the table. If o.Docs is set, it also
// writes the table into MEASUREMENTS.md there and the plots into the directory
// plots.
func Run(o Options) (string, error) {
	all := runAll(o)
	out := fmt.Sprintf("%d seeds (1 to %d), %s of virtual time each, load %.1f.\n\n%s",
		o.Seeds, o.Seeds, o.Duration, o.Load, table(all))
	if o.Docs == "" {
		return out, nil
	}
	name := fmt.Sprintf("comparison-load-%.1f", o.Load)
	if err := drawPlots(all, filepath.Join(o.Docs, "plots", name+".svg")); err != nil {
		return out, err
	}
	return out, replaceSection(filepath.Join(o.Docs, "MEASUREMENTS.md"), name, out)
}

// replaceSection writes text between the comments that mark the named section.
// It appends the section to a file that lacks it.
func replaceSection(path, name, text string) error {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->\n"
	old, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return eris.Wrapf(err, "read %s", path)
	}
	before, rest, found := strings.Cut(string(old), begin)
	_, after, closed := strings.Cut(rest, end)
	if found && !closed {
		return eris.Errorf("%s: section %s has no end", path, name)
	}
	if !found {
		before = string(old) + "\n"
	}
	whole := before + begin + "\n" + text + "\n" + end + after
	return eris.Wrapf(os.WriteFile(path, []byte(whole), 0o644), "write %s", path)
}
