Feature: Free ports for processes that listen later

    # Guards against two searches that return the same port before either caller listens, which fails with EADDRINUSE.
    Scenario: Searches in a row find no port twice
        When 100 searches for 10 free ports follow each other
        Then 1000 different ports were found
