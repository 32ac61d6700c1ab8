package mirror

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
