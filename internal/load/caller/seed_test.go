package caller

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
