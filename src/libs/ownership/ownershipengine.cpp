#include "ownershipengine.h"

#include "localengine.h"

namespace Medlar::Ownership {

std::unique_ptr<OwnershipEngine> OwnershipEngine::create(const Settings &settings)
{
    return std::make_unique<LocalEngine>(settings);
}

} // namespace Medlar::Ownership
