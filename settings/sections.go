package settings

// section is the part of a file from one table header up to the next.
type section struct {
	text string
	line int // first line of the section in the file
}

// splitSections splits a text before each header. The first section is the text
// before the first header. It reports false if the text has keys before the
// first header, a header that does not start a line, or values nested too
// deeply.
func splitSections(data string) ([]section, bool) {
	s := &scanner{data: data, line: 1}
	var sections []section
	start, line := 0, 1
	for s.skipBlank() {
		if s.has("[") {
			if s.pos > 0 && data[s.pos-1] != '\n' {
				return nil, false
			}
			sections = append(sections, section{data[start:s.pos], line})
			start, line = s.pos, s.line
			s.skipLine()
			continue
		}
		if start == 0 && len(sections) == 0 {
			return nil, false
		}
		s.skipKey()
		s.skipValue()
		if s.tooDeep > 0 {
			return nil, false
		}
	}
	return append(sections, section{data[start:], line}), true
}
