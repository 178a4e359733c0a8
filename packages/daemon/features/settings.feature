Feature: All settings are validated before the daemon starts

    Scenario: All mistakes of a settings file are listed at once
        When the settings file "settings-mistakes.jsonc" is checked
        Then the settings mistakes equal the golden file "settings-mistakes.txt"
        And no settings mistake contains the text "hidden-"

    Scenario: No message contains a misplaced secret
        When the settings text '{ "keys": "hidden-misplaced-token" }' is checked
        Then no settings mistake contains the text "hidden-"
        When the settings text '{ "keys": { "operator": "hidden-misplaced-token" } }' is checked
        Then no settings mistake contains the text "hidden-"

    Scenario: Random and mutated settings never throw and always result in typed mistakes
        Then 2000 random settings and mutations of valid settings result in settings or typed mistakes

    Scenario: --check lists every mistake of a settings file and exits with 2
        When tanagertrayd checks the settings file "settings-mistakes.jsonc"
        Then tanagertrayd exits with 2 and its error output equals the golden file "settings-mistakes.txt"
