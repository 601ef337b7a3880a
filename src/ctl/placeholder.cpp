#include "anvilscale/base.h"
