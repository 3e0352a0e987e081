set edit:completion:arg-completer[buckthornwharf] = { |@args| var args = $args[1..];
     var @lines = ( buckthornwharf --bpaf-complete-rev=1 $@args );
     use str;
     for line $lines {
         var @arg = (str:split "\t" $line)
         try {
             edit:complex-candidate $arg[0] &display=( printf "%-19s %s" $arg[0] $arg[1] )
         } catch {
             edit:complex-candidate $line
         }
     }
}
