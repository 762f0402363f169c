package simulate

import (
	"sloeturn/control"
	"sloeturn/data"
	"sloeturn/ident"
)

func diskEvent(bad bool) any       { return control.DiskState{Ailing: bad} }
func stopControl() any             { return control.Drain{} }
func stopNode() any                { return data.Drain{} }
func voterID(s string) ident.Voter { return ident.Voter(s) }
