// Explicit instantiations of the entry state machine.
#include "entry_core.h"

#include "entry_attempts_impl.h"
#include "entry_calls_impl.h"

namespace anvilscale {

template class EntryCore<ProductTraits>;
template class EntryCore<NaiveTraits>;

} // namespace anvilscale
