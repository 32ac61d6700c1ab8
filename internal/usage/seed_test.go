package usage

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
