#include "keepers_explore.hpp"
