package membership

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
