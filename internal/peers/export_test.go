package peers

// ProviderScore is exported for the tests.
var ProviderScore = providerScore
