package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// documentedSettings returns the type and the default of each setting in the table below a heading of the page, by
// the path of the setting.
func documentedSettings(heading string) map[string]string {
	page, err := os.ReadFile("../../docs/configuration.md")
	Expect(err).NotTo(HaveOccurred())
	_, section, found := strings.Cut(string(page), "## "+heading+"\n")
	Expect(found).To(BeTrue())
	section, _, _ = strings.Cut(section, "\n## ")
	rows := make(map[string]string)
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.TrimSpace(line), " | ")
		path, isRow := strings.CutPrefix(cells[0], "| `")
		if !isRow {
			continue
		}
		path = strings.TrimSuffix(path, "`")
		Expect(cells).To(HaveLen(5), path)
		Expect(rows).NotTo(HaveKey(path))
		rows[path] = cells[1] + ", " + strings.Trim(cells[2], "`")
	}
	return rows
}

// declaredSettings returns the same from the struct tags and the default values. A setting is required if its
// default value does not pass validation.
func declaredSettings(defaults validatable) map[string]string {
	rows := make(map[string]string)
	collectSettings(reflect.ValueOf(defaults).Elem(), "", rows)
	for _, p := range defaults.problems() {
		path := strings.TrimPrefix(p.Path, "$.")
		kind, _, _ := strings.Cut(rows[path], ", ")
		rows[path] = kind + ", required"
	}
	return rows
}

func collectSettings(v reflect.Value, path string, rows map[string]string) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		settingPath := strings.TrimPrefix(path+"."+field.Tag.Get("yaml"), ".")
		if field.Type.Kind() == reflect.Struct {
			collectSettings(v.Field(i), settingPath, rows)
			continue
		}
		rows[settingPath] = describeSetting(settingPath, v.Field(i).Interface())
	}
}

func describeSetting(path string, value any) string {
	name := path[strings.LastIndex(path, ".")+1:]
	kind := "string"
	switch v := value.(type) {
	case Duration:
		return "duration, " + v.D().String()
	case ByteSize:
		for _, u := range byteUnits {
			if int64(v)%u.bytes == 0 {
				return fmt.Sprintf("size, %d%s", int64(v)/u.bytes, u.suffix)
			}
		}
	case bool:
		return fmt.Sprintf("boolean, %t", v)
	case int, int64:
		return fmt.Sprintf("integer, %d", v)
	case float64:
		return fmt.Sprintf("number, %g", v)
	case []string:
		kind = "list of strings"
		if name != "allowed" {
			kind = "list of addresses"
		}
		Expect(v).To(BeEmpty())
		return kind + ", -"
	}
	switch name {
	case "listen", "debug_listen":
		kind = "address"
	case "url", "endpoint":
		kind = "URL"
	}
	text, isString := value.(string)
	Expect(isString).To(BeTrue(), path)
	if text == "" {
		text = "-"
	}
	return kind + ", " + text
}

// Guards against settings that are not documented, documented settings that do not exist, and a default that was
// changed in only one of code and page.
var _ = DescribeTable("docs/configuration.md", func(binary string, defaults validatable) {
	Expect(documentedSettings(binary)).To(Equal(declaredSettings(defaults)))
},
	Entry("gateway", "pomelo-gateway", defaultGateway()),
	Entry("sidecar", "pomelo-sidecar", defaultSidecar()),
)
