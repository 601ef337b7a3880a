#include "anvilscale/settings.h"
