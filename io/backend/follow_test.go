package backend_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"almondgrade/core/position"
	"almondgrade/io/backend"
)

// Guards against a replica that is taken for that of another primary or term, because its setting is split inside a value.
func TestConninfoKeepsItsFieldsWhateverThePassword(t *testing.T) {
	t.Parallel()

	pieces := rapid.SampledFrom([]string{
		"a", " ", "'", `\`, "=", "\t", "host=10.9.9.9", " port=1 ", " application_name=ag_9_other ", "\xff", "'' host='10.9.9.9' ", "host",
	})
	text := rapid.Custom(func(t *rapid.T) (text string) {
		for _, piece := range rapid.SliceOfN(pieces, 0, 6).Draw(t, "pieces") {
			text += piece
		}

		return text
	})

	rapid.Check(t, func(t *rapid.T) {
		attachment := backend.Attachment{Term: 3, Name: "db1_a", Primary: netip.MustParseAddrPort("10.1.0.8:5432")}
		require.Equal(t, attachment, backend.ParseConninfo(attachment.Conninfo(text.Draw(t, "user"), text.Draw(t, "password"))))
	})
}

// Guards against settings in a form that servers accept and this system does not write, which an operator may have set.
func TestConninfoOfOtherForms(t *testing.T) {
	t.Parallel()

	want := backend.Attachment{Term: 3, Name: "db1", Primary: netip.MustParseAddrPort("10.1.0.8:5432")}

	for _, text := range []string{
		"application_name=ag_3_db1 host=10.1.0.8 port=5432",
		"  application_name = ag_3_db1\n\thost ='10.1.0.8' port= 5432 ",
		`port=5432 password=a\ host=x host=10.1.0.8 application_name='ag_3_db1'`,
		`port=5432 host=10.1.0.8 password='' application_name=ag_3_db1 options='-c a=b'`,
	} {
		assert.Equal(t, want, backend.ParseConninfo(text), text)
	}

	for _, text := range []string{"", "host", "host=", "=x", "'", "application_name='ag_3_db1", "application_name=db1", `\`, "host 'a' b"} {
		assert.Zero(t, backend.ParseConninfo(text).Primary, text)
		assert.Equal(t, position.Term(0), backend.ParseConninfo(text).Term, text)
	}
}
