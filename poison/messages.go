package poison

import "github.com/springweir/springweir/loadshare/sharepb"

// maxKeysPerMessage bounds the suspects and parts in one announcement of a crash to about a kilobyte, which fits
// a datagram.
const maxKeysPerMessage = 48

// crashMessages returns the announcements of a crash. One without suspects still tells the other VMs that the
// endpoint is down.
func crashMessages(c Crash) []*sharepb.Crash {
	message := &sharepb.Crash{Id: c.ID}
	list := []*sharepb.Crash{message}
	indexes := map[Key]uint32{}
	for _, s := range c.Suspects {
		if len(message.Suspects)+len(message.Parts)+1+len(s.Parts) > maxKeysPerMessage && len(message.Suspects) > 0 {
			message, indexes = &sharepb.Crash{Id: c.ID}, map[Key]uint32{}
			list = append(list, message)
		}
		message.Suspects = append(message.Suspects, suspectMessage(message, indexes, s))
	}
	return list
}

// suspectMessage returns the encoding of a suspect. It adds the suspect's parts to those of the crash, whose
// positions are in indexes.
func suspectMessage(crash *sharepb.Crash, indexes map[Key]uint32, s Suspect) *sharepb.Suspect {
	message := &sharepb.Suspect{Key: s.Key[:], Origin: uint32(s.Origin), Streaming: s.Streaming}
	for _, part := range s.Parts {
		index, known := indexes[part.Key]
		if !known {
			index = uint32(len(crash.Parts))
			indexes[part.Key] = index
			crash.Parts = append(crash.Parts, part.Key[:])
		}
		message.Parts = append(message.Parts, index)
	}
	return message
}

// crashOf decodes an announcement. Suspects and parts that are malformed are skipped.
func crashOf(message *sharepb.Crash) Crash {
	c := Crash{ID: message.Id}
	for _, s := range message.Suspects {
		key, ok := parseKey(s.Key)
		if !ok {
			continue
		}
		suspect := Suspect{Key: key, Origin: Origin(max(1, s.Origin)), Streaming: s.Streaming}
		for _, index := range s.Parts {
			if int(index) >= len(message.Parts) {
				continue
			}
			if part, ok := parseKey(message.Parts[index]); ok {
				suspect.Parts = append(suspect.Parts, SuspectPart{Key: part})
			}
		}
		c.Suspects = append(c.Suspects, suspect)
	}
	return c
}
