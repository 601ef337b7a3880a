// The two instances of the entry's state machine.
#include "entry_core.h"

#include "entry_attempts_impl.h"
#include "entry_calls_impl.h"

namespace anvilscale {

template class EntryCore<ProductWay>;
template class EntryCore<NaiveWay>;

} // namespace anvilscale
