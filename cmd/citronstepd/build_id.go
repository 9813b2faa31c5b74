package main

import (
	"debug/elf"
	"encoding/binary"
	"strings"

	"github.com/juju/errors"
)

const (
	// buildIDSection is the section of a program in which the Go linker notes its build ID.
	buildIDSection = ".note.go.buildid"
	// noteHeaderLength is the length of the header of such a note with the name of its owner, in bytes.
	noteHeaderLength = 16
	// noteSizeOffset is the position of the length of its text, in bytes.
	noteSizeOffset = 4
)

// errNoBuildID is returned for a program in which the linker noted no build ID.
const errNoBuildID = errors.ConstError("the program holds no build ID")

// contentID returns the last part of a program's Go build ID, which differs for programs that differ. `go tool buildid`
// prints the whole ID.
func contentID(path string) (string, error) {
	file, err := elf.Open(path)
	if err != nil {
		return "", errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	section := file.Section(buildIDSection)
	if section == nil {
		return "", errors.Trace(errNoBuildID)
	}
	note, err := section.Data()
	if err != nil {
		return "", errors.Trace(err)
	}
	return contentIDOfNote(note, file.ByteOrder)
}

func contentIDOfNote(note []byte, order binary.ByteOrder) (string, error) {
	if len(note) < noteHeaderLength {
		return "", errors.Trace(errNoBuildID)
	}
	text := note[noteHeaderLength:]
	size := int(order.Uint32(note[noteSizeOffset:]))
	if size == 0 || size > len(text) {
		return "", errors.Trace(errNoBuildID)
	}
	id := string(text[:size])
	return id[strings.LastIndexByte(id, '/')+1:], nil
}
