package request

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
