package admission

import _ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
