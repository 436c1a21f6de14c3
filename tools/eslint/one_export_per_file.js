/**
 * Reports a second export in a module. A type and a constant object of the
 * same name count as one, because together they replace an enum.
 */
const rule = {
  meta: {
    type: 'suggestion',
    messages: {
      second: 'A module has one export; this one already has {{first}}.',
    },
    schema: [],
  },
  create(context) {
    const names = new Set();

    function record(node, name) {
      names.add(name);
      if (names.size < 2) return;
      const [first] = names;
      context.report({node, messageId: 'second', data: {first}});
    }

    return {
      ExportNamedDeclaration(node) {
        const {declaration} = node;
        if (!declaration) return;
        if (declaration.id) record(node, declaration.id.name);
        for (const declarator of declaration.declarations ?? []) {
          record(node, declarator.id.name);
        }
      },
    };
  },
};

export default rule;
