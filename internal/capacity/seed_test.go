package capacity

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
