package template

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
