package lease

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
