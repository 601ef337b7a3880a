// placeholder until the first part of the library lands
#include "anvilscale/residency.h"
