Feature: Answers are validated completely before a configuration is generated

    Scenario: All mistakes of an answers file are listed at once
        # Guards against an operator who has to correct a file once for each mistake.
        When the answers file "answers-mistakes.jsonc" is checked
        Then the answer mistakes equal the golden file "answers-mistakes.txt"

    Scenario Outline: Invalid JSON with comments is rejected with the position of the error
        # Guards against a syntax error that is reported without its line and column.
        When the answers text <text> is checked
        Then the first answer mistake is reported at "<place>"

        Examples:
            | text                               | place              |
            | '{ "deployment": }'                | line 1, column 17  |
            | '{ "a": 1, "a": 2 }'               | line 1, column 11  |
            | ''                                 | line 1, column 1   |

    Scenario: Deeply nested text is rejected before it exhausts the stack
        # Guards against a stack overflow of the parser.
        When an answers text with 200000 nested lists is checked
        Then the first answer mistake is reported at "line 1, column 33"

    Scenario: Random and mutated answers never throw and give typed mistakes
        # Guards against input that makes the validation throw or gives a mistake without code, message or position.
        Then 2000 random answers and mutations of valid answers give answers or typed mistakes

    Scenario Outline: Overlapping paths of operations are detected
        # Guards against answers in which one call matches two operations.
        Then the paths "<first>" and "<second>" overlap: <overlap>

        Examples:
            | first      | second       | overlap |
            | /slots/*   | /slots/open  | true    |
            | /slots     | /slots/*     | false   |
            | /slots     | /slots/**    | true    |
            | /**        | /            | true    |
            | /a/*/c     | /a/b/d       | false   |
            | /a/*/c     | /*/b/c       | true    |
